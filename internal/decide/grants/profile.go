package grants

import (
	"crypto/hmac"
	"crypto/md5"
	"crypto/sha1"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"net/url"
	"slices"

	"cherryramp/internal/decide/keyring"
)

// Names of the formats.
const (
	EdgeAuth   = "edgeauth"   // Akamai EdgeAuth 2.0
	CloudCDN   = "cloudcdn"   // Google Cloud CDN: HMAC-SHA1
	MediaCDN   = "mediacdn"   // Google Media CDN: Ed25519
	CloudFront = "cloudfront" // Amazon CloudFront
	CDNI       = "cdni"       // CDNI URI Signing, RFC 9246
	Timed      = "timed"      // digests with an expiry, as described by a TimedFormat
)

// Formats lists the names of all formats.
var Formats = []string{EdgeAuth, CloudCDN, MediaCDN, CloudFront, CDNI, Timed}

// Profile configures one way of signing links: a format, a key ring and the options
// of the format.
type Profile struct {
	Name    string
	Tenant  string // owner of the links
	Format  string
	Ring    *keyring.Ring
	BaseURL string // scheme and host of signed URLs
	Skew    Micros // allowed clock skew, unless the key has its own

	Query, Cookie, Header string // field names of a token in one field; empty: not accepted there

	RequireBranch      bool // a token's data must name the ProfileSet's branch
	AllowMissingBranch bool // or be empty

	Digest        string // of EdgeAuth: sha256 (default), sha1, md5
	Salt          string // of EdgeAuth
	AllowNoExpiry bool   // of CDNI: tokens without an expiry are valid
	Issuers       []string
	Audience      string
	TimedFormat   TimedFormat // of Timed

	format   format
	macs     map[*keyring.Key]hash.Hash
	macSize  int       // bytes of an HMAC
	macBuf   []byte    // reused by mac
	inputBuf [512]byte // reused by mac
}

var digests = map[string]func() hash.Hash{"sha256": sha256.New, "sha1": sha1.New, "md5": md5.New}

const minHS256Bytes = 32 // of a key (RFC 7518, section 3.2)

// Digests lists the digests of EdgeAuth and Timed; Timed also has each with the
// prefix hmac-.
var Digests = []string{"sha256", "sha1", "md5"}

// Check validates a profile and prepares it for use. An error begins with the
// setting's key.
func (p *Profile) Check() error {
	macDigest := p.Digest
	kinds := []keyring.Kind{keyring.Secret}
	switch p.Format {
	case EdgeAuth:
		p.format = edgeAuth{}
		if macDigest == "" {
			macDigest = "sha256"
		}
	case CloudCDN:
		p.format, macDigest = google{}, "sha1"
	case MediaCDN:
		p.format, macDigest = google{}, ""
		kinds = []keyring.Kind{keyring.Ed25519}
	case CloudFront:
		p.format, macDigest = cloudFront{}, ""
		kinds = []keyring.Kind{keyring.RSA, keyring.P256}
	case CDNI:
		p.format, macDigest = cdni{}, ""
		kinds = []keyring.Kind{keyring.Secret, keyring.RSA, keyring.P256, keyring.Ed25519}
	case Timed:
		d, err := p.TimedFormat.compile()
		if err != nil {
			return fmt.Errorf("describe.%w", err)
		}
		if p.format, macDigest = d, ""; d.useHMAC {
			macDigest = d.digest
		}
	default:
		return fmt.Errorf("format: %q is not one of %v", p.Format, Formats)
	}
	if p.BaseURL == "" && slices.Contains([]string{CloudCDN, MediaCDN, CloudFront, CDNI}, p.Format) {
		return errors.New("base: missing; signed URLs begin with it")
	}
	if base, err := url.Parse(p.BaseURL); p.BaseURL != "" &&
		(err != nil || base.Host == "" || base.Scheme+"://"+base.Host != p.BaseURL) {
		return fmt.Errorf("base: %q is not scheme://host", p.BaseURL)
	}
	p.macs = map[*keyring.Key]hash.Hash{}
	for _, k := range p.Ring.Keys {
		if !slices.Contains(kinds, k.Kind) {
			return fmt.Errorf("ring: key %q of kind %s can't be used with %s", k.Name, k.Kind, p.Format)
		}
		if p.Format == CDNI && k.Kind == keyring.Secret && len(k.Bytes) < minHS256Bytes {
			return fmt.Errorf("ring: key %q has %d bytes, HS256 needs %d (RFC 7518, section 3.2)", k.Name,
				len(k.Bytes), minHS256Bytes)
		}
		if macDigest != "" {
			digest := digests[macDigest]
			if digest == nil {
				return fmt.Errorf("digest: %q is not one of %v", macDigest, Digests)
			}
			p.macs[k] = hmac.New(digest, k.Bytes)
			p.macSize = p.macs[k].Size()
		}
	}
	return nil
}

// mac returns the HMAC of the concatenated texts. The result is valid until the
// next call.
func (p *Profile) mac(k *keyring.Key, texts ...string) []byte {
	h := p.macs[k]
	h.Reset()
	n := 0 // bytes in inputBuf, which collects the texts without an allocation
	for _, text := range texts {
		for text != "" {
			if n == len(p.inputBuf) {
				h.Write(p.inputBuf[:])
				n = 0
			}
			m := copy(p.inputBuf[n:], text)
			n, text = n+m, text[m:]
		}
	}
	h.Write(p.inputBuf[:n])
	p.macBuf = h.Sum(p.macBuf[:0])
	return p.macBuf
}
