package archive_test

import (
	"fmt"

	"maddermill/internal/state/archive"
)

// A controller that has no record of a job checks the filter before it reads the archive.
func ExampleFilter() {
	// The leader archives two jobs, which updates the stored page of the filter.
	const valueBytes = 4096
	pages, _ := archive.EmptyPage().With([]string{"wk-000001", "wk-000002"}, valueBytes)

	// Another controller reads that page while a third job is archived.
	var filter archive.Filter
	since := filter.Additions()
	filter.Add("wk-000003")
	filter.Put(pages[0], 7, since)

	for _, job := range []string{"wk-000001", "wk-000003", "wk-000004"} {
		page, _ := filter.Page(job)
		fmt.Println(job, "may be archived:", page.MayContain(job))
	}
	// Output:
	// wk-000001 may be archived: true
	// wk-000003 may be archived: true
	// wk-000004 may be archived: false
}

// Machines are added one part at a time. A series of names is stored as a head and several parts.
func ExampleTerminatedMachines() {
	set := archive.NewTerminatedMachines()
	part, _ := archive.PartOfMachine("host-000007")
	head, numbers := set.With(part, []string{"host-000007", "host-000008"})
	set.SetHead(part.Series, head)
	set.SetPart(part, numbers)

	fmt.Println("part", part, "has", numbers.Len(), "machines")
	fmt.Println(set.Has("host-000008"), set.Has("host-000009"), set.Count())
	// Output:
	// part 000000/6/host- has 2 machines
	// true false 2
}
