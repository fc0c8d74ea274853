export * from './document.js';
export * from './repository.js';
