/** Replaces the global `Headers` in the bundle. */
export { Headers } from "undici";
