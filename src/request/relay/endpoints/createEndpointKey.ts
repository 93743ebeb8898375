/**
 * Creates the key of an endpoint from its registered id and its start time. This node and its peers keep all state of an
 * endpoint under this key, so that state of an earlier incarnation isn't applied to the current one.
 * @param registeredId - Id in its record.
 * @param incarnation - Start time of the endpoint in Unix milliseconds; 0 if unknown.
 */
export function createEndpointKey(registeredId: string, incarnation: number): string {
    return incarnation === 0 ? registeredId : `${registeredId}@${incarnation}`;
}
