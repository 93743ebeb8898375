/** Largest value that the platform's key-value service holds, in bytes of UTF-8: one megabyte. */
export const maximumValueBytes = 1_000_000;
