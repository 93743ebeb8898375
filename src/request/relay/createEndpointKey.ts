/**
 * Creates what an endpoint is known by here: its registered id and its start. Whatever is believed of an endpoint is kept
 * under this key, here and in what peers tell, so that nothing of an earlier start is taken for the present one.
 * @param registeredId - Id in its record.
 * @param incarnation - When it started, in Unix milliseconds; 0 where it doesn't say.
 */
export function createEndpointKey(registeredId: string, incarnation: number): string {
    return incarnation === 0 ? registeredId : `${registeredId}@${incarnation}`;
}
