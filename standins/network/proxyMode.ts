/** Fault mode of a proxy. */
export const ProxyMode = {
    Pass: "pass",
    /** All bytes are delayed. */
    Delay: "delay",
    /** Open and new connections are reset. */
    Reset: "reset",
    /** Bytes from the caller are lost. Bytes from the target still arrive. */
    CutRequests: "cutRequests",
    /** Bytes from the target are lost. Bytes from the caller still arrive. */
    CutAnswers: "cutAnswers",
    /** All bytes are lost in both directions, and connections stay open. */
    Silence: "silence",
} as const;
export type ProxyMode = typeof ProxyMode[keyof typeof ProxyMode];
