/** Maximum size of the head of a request, in bytes. */
export const maximumHeaderBytes = 32 * 1024;
