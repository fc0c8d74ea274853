export * from './context.js';
export * from './exit-codes.js';
export * from './fleet/admin-fetch.js';
export * from './program.js';
export * from './settings.js';
