/** Limit for the first event, which also takes the prefill of the prompt on each stage. */
export const silenceBeforeFirstEventMilliseconds = 420;
