/** The size to design for, from the letter; the parts that the letter does not name are choices and say so. */
export const letterSize = {
    nodes: 340,
    runners: 1_200,
    customers: 2_000,
    models: 14,
    dataCentres: 10,
    requestsPerSecond: 2_100,
    tokensPerSecond: 520_000,
    betweenTokensMilliseconds: 73,
    configurationChangesPerDay: 630,
    /** A choice: stages of a chain. */
    stages: 4,
} as const;
