/** Refusals of endpoints are followed by another endpoint up to so many times, since they cost the caller nothing. */
export const mostRefusals = 4;
