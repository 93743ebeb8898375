/** Options of a membership view. */
export interface MembershipViewOptions {
    /** Name of the node that holds the view. */
    nodeId: string;
    /** host:port of its peer listener. */
    peerAddress: string;
    dataCentre: string;
    /** Version of the configuration in force at the start; 0 where there is none. */
    configurationVersion?: number;
    /**
     * First incarnation. Pass the wall-clock time in milliseconds, so that a process that restarts under the same name
     * outranks the records of its predecessor. Where the clock has stepped back, the node raises its incarnation when
     * it receives them.
     */
    incarnation: number;
    /** Time in milliseconds that a suspected member has to refute the suspicion. Default 3000. */
    suspicionTimeoutMilliseconds?: number;
    /** Time in milliseconds that dead members are remembered, so that old records cannot revive them. Default 3600000. */
    deadRetentionMilliseconds?: number;
}
