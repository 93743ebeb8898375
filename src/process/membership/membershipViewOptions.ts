/** Options of a membership view. */
export interface MembershipViewOptions {
    /** Id of the node that has the view. */
    nodeId: string;
    /** host:port of its peer listener. */
    peerAddress: string;
    dataCentre: string;
    /** Configuration version at the start. Default 0, for none. */
    configurationVersion?: number;
    /**
     * First incarnation. Pass the wall-clock time in milliseconds, so that a process that restarts with the same id
     * supersedes the records of its predecessor. If the clock has stepped back, the node increases its incarnation when
     * it receives them.
     */
    incarnation: number;
    /** Time in milliseconds that a suspected member has to refute the suspicion. Default 3000. */
    suspicionTimeoutMilliseconds?: number;
    /** Time in milliseconds that dead members are retained, so that old records cannot revive them. Default 3600000. */
    deadRetentionMilliseconds?: number;
}
