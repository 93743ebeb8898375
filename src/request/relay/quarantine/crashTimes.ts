/** Times of suspected crashes and of what they hold back. */
export const crashTimes = {
    /** A harmless request that was on the same endpoint as a harmful one several times is allowed again after this time. */
    shortHoldMilliseconds: 60_000,
    longHoldMilliseconds: 600_000,
    /** A suspected crash reaches all nodes within this time. Afterwards only the crashes of suspects that are held back are announced. */
    announcementMilliseconds: 5_000,
    /** Endpoints also fail together for another reason, such as that of a rack, and do so within this time. */
    coincidenceMilliseconds: 500,
} as const;
