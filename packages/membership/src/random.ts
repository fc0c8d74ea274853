/** Returns a random number in [0, 1); injected so that tests can use a seeded generator. */
export type Random = () => number;
