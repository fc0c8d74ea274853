export * from './budgeted-store.js';
export * from './http-store.js';
export * from './memory-store.js';
export * from './object-store.js';
export * from './wrapped-store.js';
export * from './collection-store.js';
