export * from './rate-limited-store.js';
export * from './http-store.js';
export * from './memory-store.js';
export * from './object-store.js';
export * from './store-decorator.js';
export * from './collection-store.js';
