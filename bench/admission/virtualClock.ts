/** Stands here until the benches that were being written at the move import the clock itself. */
export { VirtualClock } from "../../tests/support/virtualClock.ts";
