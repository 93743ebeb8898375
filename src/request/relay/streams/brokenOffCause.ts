/** Why an attempt ended whose endpoint ended its answer inside an event. */
export const brokenOffCause = "the endpoint broke off the stream.";
