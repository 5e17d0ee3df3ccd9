package session

import (
	"strconv"
	"strings"

	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
)

// ReadCopy reads what both fronts say alike of the copy that is wanted: the
// part, as the query seg=N, the group, a number below 256, and the tag of the
// client's own copy. It names what can't be used; a tag that can't be is
// passed over.
func ReadCopy(c *gateway.Call, query, group string, header httpwire.Header) (fault string) {
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
	if tag := strings.Trim(header.Get("If-None-Match"), `"`); gateway.IsName(tag) {
		c.Tag = tag
	}
	return ""
}
