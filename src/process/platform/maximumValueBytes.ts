/** Maximum size of a value in the platform's key-value service, in bytes of UTF-8: one megabyte. */
export const maximumValueBytes = 1_000_000;
