/** An origin, where the caller sent one, and the prefix with the service's name, which may be percent-encoded. */
const prefixPattern = /^(?:[a-z][a-z0-9+.-]*:\/\/[^/?#]*)?\/v1\/services\/[^/?#]*/i;

/**
 * Gets the path that a document service is called with: all that follows the service's name, with the query.
 * @param url - Target of the caller's request, as it was sent.
 */
export function getServicePath(url: string): string {
    return url.replace(prefixPattern, "");
}
