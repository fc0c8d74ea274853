export * from './key-state.js';
export * from './revoked-keys.js';
