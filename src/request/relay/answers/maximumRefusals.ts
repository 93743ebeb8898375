/** Maximum number of refusals by endpoints that are each followed by another attempt. Refusals cost the caller nothing. */
export const maximumRefusals = 4;
