/** What a proxy does with the bytes that pass it. */
export const ProxyMode = {
    Pass: "pass",
    /** All bytes come later. */
    Delay: "delay",
    /** Open and new connections are reset. */
    Reset: "reset",
    /** What the caller sends is lost; what the other side sends still arrives. */
    CutRequests: "cutRequests",
    /** What the other side sends is lost. */
    CutAnswers: "cutAnswers",
    /** Nothing arrives on either side, and connections stay open. */
    Silence: "silence",
} as const;
export type ProxyMode = typeof ProxyMode[keyof typeof ProxyMode];
