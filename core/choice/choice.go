// Package choice holds the document in which an entry explains where it would send a request. The
// entry writes it on its administration address and the operator's client reads it.
//
// Times are in milliseconds. Fields that a reader doesn't know are ignored.
package choice

// Path is where an entry serves the document. The fields of the query are QueryRoute and so on.
const Path = "/explain"

// Names of the fields of a query. Prompt is in tokens and Timeout in milliseconds.
const (
	QueryRoute     = "route"
	QueryWorkspace = "workspace"
	QueryModel     = "model"
	QueryPrompt    = "prompt"
	QueryTimeout   = "timeout"
)

// ErrorDocument is the response to a query that can't be answered.
type ErrorDocument struct {
	Fault string `json:"fault"`
}

// Document is the response of an entry.
type Document struct {
	Entry    string  `json:"entry"`
	Era      uint64  `json:"era"`
	Revision uint64  `json:"revision"`
	CopyAge  float64 `json:"copyage"`
	// Pools is empty if the request is refused before a pool is drawn.
	Pools   []PoolDocument   `json:"pools"`
	Refusal *RefusalDocument `json:"refusal,omitempty"`
}

// RefusalDocument is the refusal that the client would get.
type RefusalDocument struct {
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	// Wait and Latest bound the Retry-After, which is drawn between them. Held is how long the
	// request waits at the entry before it is refused.
	Wait   float64 `json:"wait"`
	Latest float64 `json:"latest"`
	Held   float64 `json:"held"`
}

// PoolDocument explains the choice in one pool of the route.
type PoolDocument struct {
	Pool string `json:"pool"`
	// Share is the part of the route's requests that the pool gets.
	Share float64 `json:"share"`
	Model string  `json:"model,omitempty"`
	// Homes are the regions that may serve the request, if Bound is set.
	Bound bool     `json:"bound"`
	Homes []string `json:"homes,omitempty"`
	// Level is the urgency of the request, below Levels.
	Level  int `json:"level"`
	Levels int `json:"levels"`
	// Remaining is the time by which the first event is in time.
	Remaining float64 `json:"remaining"`
	// Unit is that of costs: "ms" or "requests".
	Unit       string              `json:"unit"`
	Candidates []CandidateDocument `json:"candidates"`
	Choice     string              `json:"choice,omitempty"`
	Second     string              `json:"second,omitempty"`
	Margin     float64             `json:"margin"`
	Refusal    *RefusalDocument    `json:"refusal,omitempty"`
}

// CandidateDocument is an upstream of the pool.
type CandidateDocument struct {
	Upstream string `json:"upstream"`
	Domain   string `json:"domain"`
	Region   string `json:"region"`
	// Running is the number of requests assumed there, Unread the number of prompt tokens of
	// those without a first event.
	Running int `json:"running"`
	Unread  int `json:"unread"`
	// Reported is set if there is a valid load report, and Age is its age.
	Reported bool    `json:"reported"`
	Age      float64 `json:"age"`
	Pace     float64 `json:"pace"`
	// Silence is the age of the last load report of a closed engine if it is no longer valid.
	Silence float64 `json:"silence,omitempty"`
	Version int     `json:"version"`
	// Ending is set if a later version was released, and Ends is the time for which requests may
	// still be sent to this one.
	Ending    bool    `json:"ending"`
	Ends      float64 `json:"ends"`
	Predicted float64 `json:"predicted"`
	// Excluded lists the exclusions. Limit is in requests a second; Owner spends it.
	Excluded []string `json:"excluded,omitempty"`
	Limit    float64  `json:"limit,omitempty"`
	Owner    string   `json:"owner,omitempty"`
	// Costs are the parts of Cost. Jitter bounds the random part, which isn't in it.
	Costs  []CostDocument `json:"costs,omitempty"`
	Cost   float64        `json:"cost"`
	Jitter float64        `json:"jitter"`
	// Free is the number of places that the request may use, Needed how many must be free for it.
	// Plain services have none.
	Free     int  `json:"free"`
	Needed   int  `json:"needed"`
	Admitted bool `json:"admitted"`
}

// CostDocument is one part of a cost.
type CostDocument struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}
