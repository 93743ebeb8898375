/** Why an endpoint that holds a column should move to another one. */
export const MovePurpose = {
    /** No endpoint of the fleet holds the target column, so that there is no complete chain without the move. */
    FleetLacks: "fleetLacks",
    /** No endpoint of the data centre holds the target column, so that each of its chains uses a link to another one. */
    DataCentreLacks: "dataCentreLacks",
    /** The target column has too little memory for requests. */
    Balance: "balance",
} as const;
export type MovePurpose = typeof MovePurpose[keyof typeof MovePurpose];
