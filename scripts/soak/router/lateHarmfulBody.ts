/** Body of the requests that crash every endpoint some time after it has begun to answer them. */
export const lateHarmfulBody = "harmful later";
