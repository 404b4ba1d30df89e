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
  static boolean register(String name, Runnable action) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      Object handler =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handlerType},
              (proxy, method, arguments) -> {
                switch (method.getName()) {
                  case "handle" -> action.run();
                  case "hashCode" -> {
                    return System.identityHashCode(proxy);
                  }
                  case "equals" -> {
                    return proxy == arguments[0];
                  }
                  case "toString" -> {
                    return "handler of " + name;
                  }
                  default -> {}
                }
                return null;
              });
      signalType
          .getMethod("handle", signalType, handlerType)
          .invoke(null, signalType.getConstructor(String.class).newInstance(name), handler);
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
