export * from './deployment.js';
export * from './fake-control.js';
