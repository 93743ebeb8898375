/** An optional origin and the prefix with the name of the service, which may be percent-encoded. */
const prefixPattern = /^(?:[a-z][a-z0-9+.-]*:\/\/[^/?#]*)?\/v1\/services\/[^/?#]*/i;

/**
 * Gets the path of a call to a document service: everything after the service name, including the query.
 * @param url - Target of the caller's request, unmodified.
 */
export function getServicePath(url: string): string {
    return url.replace(prefixPattern, "");
}
