package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// Key prefixes. Controllers keep all keys under Prefix in memory and read the others on demand.
const (
	// AllPrefix is the common prefix of all keys that maddermill stores.
	AllPrefix = "mm"
	// Prefix is the prefix of the records that controllers keep in memory. It includes the version of the
	// key layout.
	Prefix = "mm1/"
	// ArchivePrefix is the prefix of the archive: final records and the filter.
	ArchivePrefix = "mma1/"
	// DocumentPrefix is the prefix of the documents of workflows.
	DocumentPrefix = "mmd1/"
	// codePrefix is the prefix of the code of policy modules.
	codePrefix = "mmp1/"
)

// Keys of singleton records.
const (
	LeaderKey   = Prefix + "leader"   // LeaderRecord
	TokenKey    = Prefix + "token"    // TokenRecord
	ScaleOutKey = Prefix + "hires"    // ScaleOutRecord; "hires" is an earlier name of scale-out
	PolicyKey   = Prefix + "p"        // PolicyRecord; "p/" is the prefix of galleries
	RegisterKey = Prefix + "register" // registerRecord: the newest edition of the operators' register
	FormatKey   = Prefix + "format"   // FormatRecord
	ImportKey   = Prefix + "import"   // present during an import; no controller serves until it is deleted
)

// Prefixes of records under Prefix. The rest of a key identifies the record.
const (
	jobPrefix         = Prefix + "j/" // jobRecord, by job
	taskRangePrefix   = Prefix + "t/" // taskRangeRecord, by job and index of the range, from 1
	partPrefix        = Prefix + "s/" // taskRangeRecord, by job and index of the range of a divided job
	machinePrefix     = Prefix + "m/" // machineRecord, by machine
	teamPrefix        = Prefix + "u/" // teamRecord, by quoted team: its usage
	memberPrefix      = Prefix + "n/" // status of a controller ("node"), by member
	machineTypePrefix = Prefix + "f/" // wire.MachineType ("flavor"), by quoted name
	workflowPrefix    = Prefix + "w/" // WorkflowRecord, by workflow
	modulePrefix      = Prefix + "q/" // ModuleRecord, by hash
	seriesHeadPrefix  = Prefix + "g/" // archive.SeriesHead of the terminated ("gone") machines of a series
	seriesPartPrefix  = Prefix + "h/" // archive.MachineNumbers of a part of a series

	// GalleryPrefix is the prefix of galleries ("promises") that are not archived: GalleryRecord, by name.
	GalleryPrefix = Prefix + "p/"
	// MachinePhasesPrefix is the prefix of machine phases.
	MachinePhasesPrefix = machinePrefix
)

// Prefixes of records under ArchivePrefix.
const (
	finalPrefix         = ArchivePrefix + "j/" // FinalRecord, by job
	finalWorkflowPrefix = ArchivePrefix + "w/" // WorkflowRecord, by workflow
	finalGalleryPrefix  = ArchivePrefix + "p/" // GalleryRecord, by gallery
	filterPrefix        = ArchivePrefix + "f/" // archive.Page, by its highest position

	// FilterPrefix is the prefix of the filter's pages.
	FilterPrefix = filterPrefix
)

// jobKey returns the key of a job's record, which includes the first range of its tasks.
func jobKey(id wire.JobID) string { return jobPrefix + string(id) }

// taskRangeKey returns the key of the n-th range of a job's tasks. Range 0 is in the job's own record.
func taskRangeKey(id wire.JobID, n int) string {
	if n == 0 {
		return jobKey(id)
	}
	return fmt.Sprintf("%s%s/%d", taskRangePrefix, id, n)
}

// parseTaskRangeKey parses the rest of a key after taskRangePrefix.
func parseTaskRangeKey(rest string) (wire.JobID, int, bool) {
	id, n, ok := strings.Cut(rest, "/")
	i, err := strconv.Atoi(n)
	return wire.JobID(id), i, ok && err == nil && i > 0
}

// partKey returns the key of the part record of the n-th range of a divided job.
func partKey(id wire.JobID, n int) string { return fmt.Sprintf("%s%s/%d", partPrefix, id, n) }

// parsePartKey parses the rest of a key after partPrefix.
func parsePartKey(rest string) (wire.JobID, int, bool) {
	id, n, ok := strings.Cut(rest, "/")
	i, err := strconv.Atoi(n)
	return wire.JobID(id), i, ok && err == nil && i >= 0
}

// machineKey returns the key of a machine's phase.
func machineKey(id wire.MachineID) string { return machinePrefix + string(id) }

// teamKey returns the key of a team's record, which every start of a team with a quota rewrites.
func teamKey(t wire.Team) string { return teamPrefix + strconv.Quote(string(t)) }

// workflowKey returns the key of a workflow's record.
func workflowKey(id wire.WorkflowID) string { return workflowPrefix + string(id) }

// galleryKey returns the key of a gallery's record.
func galleryKey(n wire.GalleryName) string { return GalleryPrefix + string(n) }

// pageKey returns the key of a page of the filter.
func pageKey(p *archive.Page) string { return filterPrefix + p.Name() }

// MemberKey returns the key under which a controller publishes its status.
func MemberKey(m wire.MemberID) string { return memberPrefix + string(m) }

// MachineTypeKey returns the key of a machine type, which the leader publishes.
func MachineTypeKey(t wire.MachineTypeName) string {
	return machineTypePrefix + strconv.Quote(string(t))
}

// ModuleKey returns the key of a module's listing.
func ModuleKey(h wire.ModuleHash) string { return modulePrefix + string(h) }

// CodeKey returns the key of the n-th chunk of a module's code.
func CodeKey(h wire.ModuleHash, n int) string {
	return codePrefix + string(h) + "/" + fmt.Sprintf("%05d", n)
}

// DocumentKey returns the key of the n-th chunk of a workflow's documents, which are stored by their hash.
// The index of the chunk is encoded as two letters.
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

// ArchivedJobID returns the job whose final record is stored under a key; ok is false for other keys.
func ArchivedJobID(key string) (wire.JobID, bool) {
	id, ok := strings.CutPrefix(key, finalPrefix)
	return wire.JobID(id), ok
}

// FilterKey returns the exclusive lower bound for the key of the filter page that contains a position: the
// page's key is the first one after it. It is "" for position 0.
func FilterKey(position uint32) string {
	if position == 0 {
		return ""
	}
	return filterPrefix + archive.PageName(position-1)
}

// recordKindNames are the names of the kinds of records by key prefix. The first prefix that matches applies.
var recordKindNames = []struct{ prefix, kind string }{
	{jobPrefix, "jobs"},
	{taskRangePrefix, "task ranges"},
	{partPrefix, "parts of task ranges"},
	{machinePrefix, "machine phases"},
	{teamPrefix, "teams"},
	{memberPrefix, "members"},
	{machineTypePrefix, "machine types"},
	{workflowPrefix, "workflows"},
	{GalleryPrefix, "galleries"},
	{finalGalleryPrefix, "archived galleries"},
	{filterPrefix, "filter pages"},
	{seriesHeadPrefix, "series of terminated machines"},
	{seriesPartPrefix, "parts of series of terminated machines"},
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
	{ImportKey, "import in progress"},
}

// RecordKind returns a readable name for the kind of record that is stored under a key, "" if the key is
// unknown.
func RecordKind(key string) string {
	for _, k := range recordKindNames {
		if strings.HasPrefix(key, k.prefix) {
			return k.kind
		}
	}
	return ""
}

// Transient reports whether a key holds only the state of running controllers or of an import. Such keys are
// left out of exports.
func Transient(key string) bool {
	return key == LeaderKey || key == ImportKey || strings.HasPrefix(key, memberPrefix)
}
