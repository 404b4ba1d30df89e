package linengauge.platform;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * The process's signals. The virtual machine ends on SIGHUP unless told otherwise, and its class
 * for that is outside the language's own library: it is reached by reflection, as the compiler
 * warns of naming it.
 */
final class Signals {
  private Signals() {}

  /**
   * Runs the step, on a thread of the virtual machine's, each time the signal comes. False where
   * that can't be had.
   */
  static boolean register(String name, Runnable step) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object ours =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, m, args) -> {
                switch (m.getName()) {
                  case "handle" -> step.run();
                  case "hashCode" -> {
                    return System.identityHashCode(self);
                  }
                  case "equals" -> {
                    return self == args[0];
                  }
                  case "toString" -> {
                    return "handler of " + name;
                  }
                  default -> {}
                }
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(name), ours);
      return true;
    } catch (ClassNotFoundException
        | NoSuchMethodException
        | IllegalAccessException
        | InstantiationException
        | InvocationTargetException e) {
      return false;
    }
  }
}
