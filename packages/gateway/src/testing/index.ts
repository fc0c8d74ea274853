export {type Backend} from '../placement/backend.js';
export * from './placer-fixture.js';
