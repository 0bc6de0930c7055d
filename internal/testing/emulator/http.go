package emulator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"maddermill/internal/exactjson"
	"maddermill/internal/leader/cloud"
	"maddermill/internal/state/kvstore"
	"maddermill/wire"
)

// StateHandler serves the HTTP protocol of the state service on top of a link.
func StateHandler(l *Link) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", func(w http.ResponseWriter, r *http.Request) {
		it, err := l.Get(r.Context(), r.PathValue("key"))
		respond(w, it, err)
	})
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		limit, _ := strconv.Atoi(q.Get("most"))
		p, err := l.List(r.Context(), q.Get("starts"), q.Get("from"), limit)
		respond(w, p, err)
	})
	mux.HandleFunc("GET /changes", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		ev, err := l.Watch(r.Context(), q.Get("starts"), wire.Revision(from), time.Duration(wait)*time.Millisecond)
		respond(w, ev, err)
	})
	mux.HandleFunc("POST /multi", func(w http.ResponseWriter, r *http.Request) {
		var t wire.Txn
		if !decode(w, r, &t) {
			return
		}
		rev, err := l.Commit(r.Context(), t)
		respond(w, wire.TxnResult{Revision: rev}, err)
	})
	mux.HandleFunc("POST /leases", func(w http.ResponseWriter, r *http.Request) {
		var q wire.LeaseRequest
		if !decode(w, r, &q) {
			return
		}
		id, err := l.GrantLease(r.Context(), time.Duration(q.TTLMillis)*time.Millisecond)
		respond(w, wire.LeaseGrant{Lease: id}, err)
	})
	mux.HandleFunc("POST /leases/{id}/renew", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		err := l.RenewLease(r.Context(), wire.LeaseID(id))
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			err = kvstore.ErrNotFound
		}
		respond(w, struct{}{}, err)
	})
	return mux
}

// CloudHandler serves the cloud's HTTP protocol.
func CloudHandler(c *Cloud) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, r *http.Request) {
		f, err := c.MachineTypes(r.Context())
		respond(w, wire.MachineTypeList{Types: f}, err)
	})
	mux.HandleFunc("POST /machines", func(w http.ResponseWriter, r *http.Request) {
		var h wire.ScaleOutRequest
		if !decode(w, r, &h) {
			return
		}
		names, err := c.ScaleOut(r.Context(), h)
		respond(w, wire.MachineIDList{Names: names}, err)
	})
	mux.HandleFunc("POST /machines/return", func(w http.ResponseWriter, r *http.Request) {
		var m wire.MachineIDList
		if !decode(w, r, &m) {
			return
		}
		respond(w, struct{}{}, c.ScaleIn(r.Context(), m.Names))
	})
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, r *http.Request) {
		all, err := c.List(r.Context())
		q := r.URL.Query()
		limit, _ := strconv.Atoi(q.Get("most"))
		p := wire.MachineList{Machines: []wire.ListedMachine{}}
		for _, m := range all {
			if string(m.ID) <= q.Get("from") {
				continue
			}
			if p.More = len(p.Machines) == limit; p.More {
				break
			}
			p.Machines = append(p.Machines, m)
		}
		respond(w, p, err)
	})
	return mux
}

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 10

// decode parses the JSON body of a request. If it can't, it responds with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := exactjson.Decode(http.MaxBytesReader(w, r.Body, maxBodyBytes), into)
	if err != nil {
		respond(w, nil, kvstore.ErrInvalid)
	}
	return err == nil
}

// respond writes v as JSON, or the status and body that the protocol defines for err.
func respond(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		status, v = http.StatusConflict, wire.TxnResult{Failed: conflict.Failed, Revision: conflict.Revision}
	case errors.Is(err, kvstore.ErrNotFound):
		status, v = http.StatusNotFound, wire.TxnResult{}
	case errors.Is(err, kvstore.ErrRevisionCompacted):
		status, v = http.StatusGone, wire.ErrorBody{Error: "too old"}
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		status, v = http.StatusBadRequest, wire.ErrorBody{Error: "no such lease"}
	case errors.Is(err, cloud.ErrNoCapacity):
		status, v = http.StatusServiceUnavailable, wire.ErrorBody{Error: "no capacity"}
	case errors.Is(err, kvstore.ErrInvalid):
		status, v = http.StatusBadRequest, wire.ErrorBody{Error: "malformed"}
	default:
		status, v = http.StatusServiceUnavailable, wire.ErrorBody{Error: "trouble"}
	}
	b, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // the client may have disconnected
}

// Spec returns the job spec in a change, if the change puts the record of a job. Tests pass it to
// World.Upload, as users make the spec available to the workers in addition to submitting it.
func Spec(c wire.Change) (*wire.JobSpec, bool) {
	if !strings.Contains(c.Put, "/j/") {
		return nil, false
	}
	var r struct {
		Spec *wire.JobSpec `json:"spec"`
	}
	return r.Spec, exactjson.Unmarshal(c.Value, &r) == nil && r.Spec != nil
}
