package standin

import (
	"encoding/json"
	"net/http"
)

// writeJSON writes a response with the given status and v as its JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
