/** Body of the requests that crash every endpoint that starts to run them. */
export const harmfulBody = "harmful";
