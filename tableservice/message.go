package tableservice

import "encoding/json"

// Record is a row of the table service. Version is 1 after the first write
// and increases by one with each write. A key without a record has version 0.
type Record struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"version"`
}

// PutRequest is the request body of a conditional put. The write succeeds
// only if the record's version equals ExpectVersion; 0 requires that there
// is no record at the key.
type PutRequest struct {
	Value         json.RawMessage `json:"value"`
	ExpectVersion uint64          `json:"expect_version"`
}

// TxOp is an operation of a transaction: a conditional put, or, if Delete is
// set, the unconditional deletion of a record.
type TxOp struct {
	Key           string          `json:"key"`
	Value         json.RawMessage `json:"value,omitempty"`
	ExpectVersion uint64          `json:"expect_version"`
	Delete        bool            `json:"delete,omitempty"`
}

// TxRequest is the request body of a transaction. Either all of its
// operations take effect or none.
type TxRequest struct {
	Ops []TxOp `json:"ops"`
}

// PutResponse is the response body of a successful put and holds the
// record's new version.
type PutResponse struct {
	Version uint64 `json:"version"`
}

// ScanResponse is the response body of a scan and holds the matching records
// in key order.
type ScanResponse struct {
	Records []Record `json:"records"`
}

// ObjectsResponse is the response body of an object listing and holds the
// matching names in lexical order.
type ObjectsResponse struct {
	Names []string `json:"names"`
}

// InstanceState is the state that an instance has in the instance list.
type InstanceState string

// States of an instance.
const (
	// InstanceLive is the state of an instance that accepts work.
	InstanceLive InstanceState = "live"
	// InstanceLeaving is the state of an instance that is shutting down.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the instance list.
type Instance struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// InstancesResponse is the response body of an instance listing, which may be
// stale.
type InstancesResponse struct {
	Instances []Instance `json:"instances"`
}

// ErrorBody is the response body of a failed call. Version is the record's
// current version after a conflict, otherwise 0.
type ErrorBody struct {
	Error   string `json:"error"`
	Version uint64 `json:"version,omitempty"`
}
