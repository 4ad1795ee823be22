package tableservice

import "encoding/json"

// Record is one row of the table service. Version starts at 1 and grows by
// one with every write; a key never written has version 0.
type Record struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"version"`
}

// PutRequest is the body of a conditional put: the write succeeds only if
// the record's version is still ExpectVersion (0: the key must be absent).
type PutRequest struct {
	Value         json.RawMessage `json:"value"`
	ExpectVersion uint64          `json:"expect_version"`
}

// TxOp is one step of a transaction: a conditional put, or with Delete set
// the deletion of a record.
type TxOp struct {
	Key           string          `json:"key"`
	Value         json.RawMessage `json:"value,omitempty"`
	ExpectVersion uint64          `json:"expect_version"`
	Delete        bool            `json:"delete,omitempty"`
}

// TxRequest is the body of a transaction: all of its steps take effect, or
// none.
type TxRequest struct {
	Ops []TxOp `json:"ops"`
}

// PutResponse answers a put: the new version, or on conflict the current.
type PutResponse struct {
	Version uint64 `json:"version"`
}

// ScanResponse lists the records under a prefix, in key order.
type ScanResponse struct {
	Records []Record `json:"records"`
}

// ObjectsResponse lists object names under a prefix, in order.
type ObjectsResponse struct {
	Names []string `json:"names"`
}

// InstanceState is an instance's state in the instance list.
type InstanceState string

// Instance states.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the instance list.
type Instance struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// InstancesResponse is the instance list as the platform last saw it.
type InstancesResponse struct {
	Instances []Instance `json:"instances"`
}

// ErrorBody is the platform's error answer. Version is the current
// version, on a conflict.
type ErrorBody struct {
	Error   string `json:"error"`
	Version uint64 `json:"version,omitempty"`
}
