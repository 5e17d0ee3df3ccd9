package session

import (
	"strconv"
	"strings"

	"cherryramp/internal/gateway"
)

// ParseTarget sets the part and the group of a call from the fields that both fronts
// share: the part as the query seg=N, and the group as a number below 256. fault
// names the malformed field; it is empty if there is none.
func ParseTarget(c *gateway.Call, query, group string) (fault string) {
	number, err := strconv.ParseUint(group, 10, 8)
	if err != nil {
		return "group is not 0 to 255"
	}
	c.Group = int(number)
	if query != "" {
		text, ok := strings.CutPrefix(query, "seg=")
		part, err := strconv.ParseUint(text, 10, 30)
		if !ok || err != nil {
			return "query is not seg=N"
		}
		c.Part, c.HasPart = int(part), true
	}
	return ""
}
