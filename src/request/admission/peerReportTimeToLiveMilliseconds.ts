/** Time to live of a peer's report; peers send several in this time. */
export const peerReportTimeToLiveMilliseconds = 3_000;
