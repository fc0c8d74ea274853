export * from './entry.js';
export * from './settings.js';
