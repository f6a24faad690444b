package trainer

import "github.com/flamingobeam/flamingobeam/coord/structs"

// StepBody is the body of a request for a step. Holds is the newest weight version
// of the trainer, from which staleness is counted.
type StepBody struct {
	Holds structs.WeightVersion `json:"holds"`
}

// StepReply is the response that holds a step. Of is the step that a supplement
// belongs to, or zero.
type StepReply struct {
	Step    uint64             `json:"step"`
	Of      uint64             `json:"of"`
	Samples []structs.Sample   `json:"samples"`
	Lost    []structs.SampleID `json:"lost"`
}

// errorBody is the body of an error response.
type errorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
}
