/** Number of events in each stream of the soak test's endpoints. */
export const eventsPerStream = 20;
