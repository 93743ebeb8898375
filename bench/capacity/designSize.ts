/** The deployment size that the system is designed for. */
export const designSize = {
    nodes: 340,
    /** VMs that run an engine. */
    runners: 1_200,
    customers: 2_000,
    models: 14,
    dataCentres: 10,
    requestsPerSecond: 2_100,
    tokensPerSecond: 520_000,
    /** Time between two tokens of a response. */
    betweenTokensMilliseconds: 73,
    configurationChangesPerDay: 630,
    /** Stages of a chain, which the requirements don't specify. */
    stages: 4,
} as const;
