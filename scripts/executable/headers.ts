export { Headers } from "undici";
