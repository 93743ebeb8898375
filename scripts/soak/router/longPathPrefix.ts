/** Start of the paths of the route whose streams may last longer than a node has to stop. */
export const longPathPrefix = "/long/";
