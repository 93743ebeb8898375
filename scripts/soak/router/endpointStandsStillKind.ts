/** The fault in which an endpoint stands still for a moment with its connections open. It explains no lost request. */
export const endpointStandsStillKind = "endpointStandsStill";
