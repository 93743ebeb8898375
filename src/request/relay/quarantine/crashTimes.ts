/** Times of suspected crashes and of what they hold back. */
export const crashTimes = {
    /** A harmless request that was on the same endpoint as a harmful one several times is allowed again after this time. */
    shortHoldMilliseconds: 60_000,
    longHoldMilliseconds: 600_000,
    /** A suspected crash reaches all nodes within this time. Afterwards only the crashes of suspects that are held back are announced. */
    announcementMilliseconds: 5_000,
} as const;
