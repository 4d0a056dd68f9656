package pwentry

import "github.com/pomeloweir/pomeloweir/internal/node/pwproblem"

// Problem is the problem document that is the body of every error response.
type Problem = pwproblem.Problem

// ProblemOf returns the problem document for an error.
func ProblemOf(err error) *Problem { return pwproblem.FromError(err) }
