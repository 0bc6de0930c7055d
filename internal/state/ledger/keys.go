package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// The parts of the key space. Controllers keep all keys under Prefix in memory; the others are read
// when they are needed.
const (
	// AllPrefix is the part of the key space in which all that maddermill stores is.
	AllPrefix = "mm"
	// Prefix is where the records are that controllers keep in memory. The version of the layout
	// is in it.
	Prefix = "mm1/"
	// ArchivePrefix is where the archive is: final records and the filter.
	ArchivePrefix = "mma1/"
	// DocumentPrefix is where the documents of workflows are.
	DocumentPrefix = "mmd1/"
	// codePrefix is where the code of modules is.
	codePrefix = "mmp1/"
)

// Keys of records that there is only one of.
const (
	LeaderKey   = Prefix + "leader"   // LeaderRecord
	TokenKey    = Prefix + "token"    // TokenRecord
	ScaleOutKey = Prefix + "hires"    // ScaleOutRecord; the word is an earlier name of scale-out
	PolicyKey   = Prefix + "p"        // PolicyRecord; "p/" is of galleries
	RegisterKey = Prefix + "register" // registerRecord: the newest edition of the operators' register
	FormatKey   = Prefix + "format"   // FormatRecord
	ImportKey   = Prefix + "import"   // present while records are imported: until it goes nobody serves
)

// Prefixes of records under Prefix. The rest of a key is the name of the record.
const (
	jobPrefix         = Prefix + "j/" // jobRecord, by job
	taskRangePrefix   = Prefix + "t/" // taskRangeRecord, by job and number of the range, from 1
	partPrefix        = Prefix + "s/" // taskRangeRecord, by job and number of the range of a divided job
	machinePrefix     = Prefix + "m/" // machineRecord, by machine
	teamPrefix        = Prefix + "u/" // teamRecord, by quoted team: its usage
	memberPrefix      = Prefix + "n/" // status of a controller ("node"), by member
	machineTypePrefix = Prefix + "f/" // wire.MachineType ("flavor"), by quoted name
	workflowPrefix    = Prefix + "w/" // WorkflowRecord, by workflow
	modulePrefix      = Prefix + "q/" // ModuleRecord, by hash
	seriesHeadPrefix  = Prefix + "g/" // archive.Head of the terminated ("gone") machines of a series
	seriesPartPrefix  = Prefix + "h/" // archive.MachineNumbers of a part of a series

	// GalleryPrefix is where galleries ("promises") that are not archived are: GalleryRecord, by name.
	GalleryPrefix = Prefix + "p/"
	// MachinePhasesPrefix is what the keys of machines' phases begin with.
	MachinePhasesPrefix = machinePrefix
)

// Prefixes of records under ArchivePrefix.
const (
	finalPrefix         = ArchivePrefix + "j/" // FinalRecord, by job
	finalWorkflowPrefix = ArchivePrefix + "w/" // WorkflowRecord, by workflow
	finalGalleryPrefix  = ArchivePrefix + "p/" // GalleryRecord, by gallery
	filterPrefix        = ArchivePrefix + "f/" // archive.Page, by the highest position on it

	// FilterPrefix is where the pages of the filter are.
	FilterPrefix = filterPrefix
)

// jobKey returns the key of a job's record, which has the first range of its tasks in it.
func jobKey(id wire.JobID) string { return jobPrefix + string(id) }

// taskRangeKey returns the key of the n-th range of a job's tasks; 0 is in the job's own record.
func taskRangeKey(id wire.JobID, n int) string {
	if n == 0 {
		return jobKey(id)
	}
	return fmt.Sprintf("%s%s/%d", taskRangePrefix, id, n)
}

// parseTaskRangeKey splits what follows taskRangePrefix in a key.
func parseTaskRangeKey(rest string) (wire.JobID, int, bool) {
	id, n, ok := strings.Cut(rest, "/")
	i, err := strconv.Atoi(n)
	return wire.JobID(id), i, ok && err == nil && i > 0
}

// partKey returns the key of the part of the n-th range of a divided job.
func partKey(id wire.JobID, n int) string { return fmt.Sprintf("%s%s/%d", partPrefix, id, n) }

// parsePartKey splits what follows partPrefix in a key.
func parsePartKey(rest string) (wire.JobID, int, bool) {
	id, n, ok := strings.Cut(rest, "/")
	i, err := strconv.Atoi(n)
	return wire.JobID(id), i, ok && err == nil && i >= 0
}

// machineKey returns the key of a machine's phase.
func machineKey(id wire.MachineID) string { return machinePrefix + string(id) }

// teamKey returns the key that starts of a limited team rewrite.
func teamKey(t wire.Team) string { return teamPrefix + strconv.Quote(string(t)) }

// workflowKey returns the key of a workflow's record.
func workflowKey(id wire.WorkflowID) string { return workflowPrefix + string(id) }

// galleryKey returns the key of a gallery's record.
func galleryKey(n wire.GalleryName) string { return GalleryPrefix + string(n) }

// pageKey returns the key of a page of the filter.
func pageKey(p *archive.Page) string { return filterPrefix + p.Name() }

// MemberKey returns the key of the status that a controller publishes.
func MemberKey(m wire.MemberID) string { return memberPrefix + string(m) }

// MachineTypeKey returns the key of a machine type, which the leader publishes.
func MachineTypeKey(t wire.MachineTypeName) string {
	return machineTypePrefix + strconv.Quote(string(t))
}

// ModuleKey returns the key of a module's listing.
func ModuleKey(h wire.ModuleHash) string { return modulePrefix + string(h) }

// CodeKey returns the key of the n-th piece of a module's code.
func CodeKey(h wire.ModuleHash, n int) string {
	return codePrefix + string(h) + "/" + fmt.Sprintf("%05d", n)
}

// DocumentKey returns the key of the n-th piece of a workflow's documents, which are kept by their
// hash. Two letters number the pieces.
func DocumentKey(hash string, n int) string {
	return DocumentPrefix + hash + "/" + string(rune('a'+n/26)) + string(rune('a'+n%26))
}

// FinalKey returns the key of an archived job's final record.
func FinalKey(id wire.JobID) string { return finalPrefix + string(id) }

// FinalWorkflowKey returns the key of an archived workflow's record.
func FinalWorkflowKey(id wire.WorkflowID) string { return finalWorkflowPrefix + string(id) }

// FinalGalleryKey returns the key of an archived gallery's record.
func FinalGalleryKey(n wire.GalleryName) string { return finalGalleryPrefix + string(n) }

// IsFinalKey reports whether a key is that of an archived job, workflow or gallery.
func IsFinalKey(key string) bool {
	return strings.HasPrefix(key, finalPrefix) || strings.HasPrefix(key, finalWorkflowPrefix) ||
		strings.HasPrefix(key, finalGalleryPrefix)
}

// ArchivedJobID returns the job whose final record a key holds.
func ArchivedJobID(key string) (wire.JobID, bool) {
	id, ok := strings.CutPrefix(key, finalPrefix)
	return wire.JobID(id), ok
}

// FilterKey returns the key after which the page of the filter comes that a position is on; "" stands
// for the first page.
func FilterKey(position uint32) string {
	if position == 0 {
		return ""
	}
	return filterPrefix + archive.PageName(position-1)
}

// recordKindNames are the kinds of records by their prefixes. The first prefix that matches counts.
var recordKindNames = []struct{ prefix, kind string }{
	{jobPrefix, "jobs"},
	{taskRangePrefix, "ranges of jobs"},
	{partPrefix, "parts of ranges"},
	{machinePrefix, "marks of machines"},
	{teamPrefix, "teams"},
	{memberPrefix, "members"},
	{machineTypePrefix, "machine types"},
	{workflowPrefix, "workflows"},
	{GalleryPrefix, "galleries"},
	{finalGalleryPrefix, "archived galleries"},
	{filterPrefix, "filter pages"},
	{seriesHeadPrefix, "series of gone machines"},
	{seriesPartPrefix, "parts of gone machines"},
	{finalPrefix, "archived jobs"},
	{finalWorkflowPrefix, "archived workflows"},
	{DocumentPrefix, "documents"},
	{LeaderKey, "leader"},
	{TokenKey, "token"},
	{ScaleOutKey, "rentals"},
	{FormatKey, "format"},
	{RegisterKey, "register of galleries"},
	{modulePrefix, "modules"},
	{codePrefix, "code of modules"},
	{PolicyKey, "policy"},
	{ImportKey, "import under way"},
}

// RecordKind returns the kind of record that a key is of in words, "" for an unknown key.
func RecordKind(key string) string {
	for _, k := range recordKindNames {
		if strings.HasPrefix(key, k.prefix) {
			return k.kind
		}
	}
	return ""
}

// Transient reports whether a key only says who serves at the moment. It is not exported.
func Transient(key string) bool {
	return key == LeaderKey || key == ImportKey || strings.HasPrefix(key, memberPrefix)
}
