package trainer

import "github.com/flamingobeam/flamingobeam/coord/structs"

// StepBody is the body of the request for a step.
type StepBody struct {
	Holds structs.WeightVersion `json:"holds"`
}

// StepReply is the service's answer with a step.
type StepReply struct {
	Step    uint64             `json:"step"`
	Of      uint64             `json:"of"`
	Samples []structs.Sample   `json:"samples"`
	Lost    []structs.SampleID `json:"lost"`
}

// refusal is the service's answer when there is no step.
type refusal struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
}
