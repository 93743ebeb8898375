/** Events of each stream that the soak's endpoints send. */
export const eventsOfStream = 20;
