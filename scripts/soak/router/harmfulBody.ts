/** Body of the requests that end each endpoint which begins to run them. */
export const harmfulBody = "harmful";
