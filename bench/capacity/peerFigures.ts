/** Measurements of calls between nodes that aren't slopes. */
export interface PeerFigures {
    /** Processor time of one heartbeat exchange at both ends together, in microseconds. */
    exchangeMicroseconds: number;
    /** Resident memory of an open connection, both ends together, in bytes. */
    connectionBytes: number;
}
